package tpconfig

import (
	"os"
	"reflect"

	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Error is the class of errors of this package other than Faults.
var Error = errs.Class("configuration")

// ReadFile reads a file for Load.
func ReadFile(path string) (File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, Error.Wrap(err)
	}
	return File{Name: path, Data: data}, nil
}

// Decode fills the struct that v points to, by its yaml tags. The error is of
// type Faults and holds every fault of the file.
func Decode(f File, v any) error {
	root, faults := read(f)
	d := newDecoder()
	d.decode("", root, reflect.ValueOf(v).Elem())
	if faults = append(faults, d.faults...); len(faults) > 0 {
		return faults.sorted(f.Name)
	}
	return nil
}

// Load merges the overlays into the base, in order, and checks the result. The
// error is of type Faults and holds every fault of every file.
func Load(base File, overlays ...File) (tpmessage.Config, error) {
	var faults Faults
	names := make([]string, 0, len(overlays)+1)
	var merged *node
	for _, f := range append([]File{base}, overlays...) {
		names = append(names, f.Name)
		root, found := read(f)
		faults = append(faults, found...)
		// Each file is decoded by itself as well, because the overlay may hide
		// a fault of the base.
		alone := newDecoder()
		alone.decode("", root, reflect.ValueOf(new(tpmessage.Config)).Elem())
		faults = append(faults, alone.faults...)
		if merged == nil {
			merged = root
			continue
		}
		merged = merge(merged, root)
	}
	var cfg tpmessage.Config
	d := newDecoder()
	d.decode("", merged, reflect.ValueOf(&cfg).Elem())
	if len(faults) == 0 || merged.kind != kindNull {
		c := &checker{cfg: &cfg, at: d.at, bad: d.bad}
		c.check()
		faults = append(faults, c.faults...)
	}
	if len(faults) > 0 {
		return tpmessage.Config{}, faults.sorted(names...)
	}
	return cfg, nil
}
