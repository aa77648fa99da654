package tptimeline

import (
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Layout of the image, which has one row for each process.
const (
	imageWidth     = 28 * vg.Centimeter
	imageMargin    = 4 * vg.Centimeter
	imageRowHeight = 1 * vg.Centimeter
	xAxisFactor    = 1.25 // length of the x axis, relative to the duration of the events; the rest holds the legend
	maxKinds       = 12   // kinds beyond it share one colour and legend entry
)

// writePNG draws one row for each process and one mark for each event. The x
// axis is the time in seconds since the first event.
func writePNG(w io.Writer, events []tpmessage.Event) error {
	if len(events) == 0 {
		return Error.New("there is no event to draw")
	}
	processes := processesOf(events)
	p := plot.New()
	p.Title.Text = "Timeline"
	p.X.Label.Text = "seconds since the first event"
	p.Y.Min, p.Y.Max = -0.5, float64(len(processes))-0.5
	p.NominalY(processes...)
	// The x axis extends beyond the events, so that the legend does not cover
	// them.
	p.X.Min, p.X.Max = 0, xAxisFactor*durationSeconds(events)
	p.Legend.Top = true
	p.Legend.Left = false
	p.Legend.TextStyle.Font.Size = font.Length(8)
	for i, kind := range kindsOf(events) {
		if err := addKind(p, events, kind, processes, i); err != nil {
			return err
		}
	}
	height := imageMargin + vg.Length(len(processes))*imageRowHeight
	image, err := p.WriterTo(imageWidth, height, "png")
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = image.WriteTo(w)
	return Error.Wrap(err)
}

// otherKindsLabel is the common legend entry of the kinds beyond maxKinds.
const otherKindsLabel = "other"

func addKind(p *plot.Plot, events []tpmessage.Event, kind string, processes []string, index int) error {
	var points plotter.XYs
	kinds := kindsOf(events)
	for i := range events {
		e := &events[i]
		if e.Kind != kind && (kind != otherKindsLabel || slices.Contains(kinds, e.Kind)) {
			continue
		}
		points = append(points, plotter.XY{
			X: float64(e.Time.Wall-events[0].Time.Wall) / 1e9,
			Y: float64(slices.Index(processes, e.Process)),
		})
	}
	s, err := plotter.NewScatter(points)
	if err != nil {
		return Error.Wrap(err)
	}
	s.GlyphStyle = draw.GlyphStyle{
		Color:  plotutil.Color(index),
		Radius: vg.Points(3),
		Shape:  plotutil.Shape(index),
	}
	p.Add(s)
	p.Legend.Add(kind, s)
	return nil
}

// durationSeconds returns the time from the first event to the last one, and at
// least 1e-6.
func durationSeconds(events []tpmessage.Event) float64 {
	const minSeconds = 1e-6 // an axis of length 0 cannot be drawn
	return max(minSeconds, float64(events[len(events)-1].Time.Wall-events[0].Time.Wall)/1e9)
}

func processesOf(events []tpmessage.Event) []string {
	var names []string
	for i := range events {
		if !slices.Contains(names, events[i].Process) {
			names = append(names, events[i].Process)
		}
	}
	slices.Sort(names)
	return names
}

// kindsOf returns the kinds in the order of their first event. If there are
// more than maxKinds, it returns the first ones and otherKindsLabel.
func kindsOf(events []tpmessage.Event) []string {
	var kinds []string
	for i := range events {
		if slices.Contains(kinds, events[i].Kind) {
			continue
		}
		if len(kinds) == maxKinds {
			return append(kinds, otherKindsLabel)
		}
		kinds = append(kinds, events[i].Kind)
	}
	return kinds
}
