package tpconfig

import (
	"os"
	"reflect"

	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Error is the class of this package's errors other than Faults.
var Error = errs.Class("configuration")

// ReadFile reads the file at path for Load or Decode. It returns an error of
// class Error if the file cannot be read.
func ReadFile(path string) (File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, Error.Wrap(err)
	}
	return File{Name: path, Data: data}, nil
}

// Decode decodes f into the struct that v points to, by its yaml tags. A
// non-nil error is of type Faults and holds all faults of the file.
func Decode(f File, v any) error {
	root, faults := parse(f)
	d := newDecoder()
	d.decode("", root, reflect.ValueOf(v).Elem())
	if faults = append(faults, d.faults...); len(faults) > 0 {
		return faults.sorted(f.Name)
	}
	return nil
}

// Load merges the overlays into the base, in order, and checks the result. A
// non-nil error is of type Faults and holds all faults of all files.
func Load(base File, overlays ...File) (tpmessage.Config, error) {
	var faults Faults
	names := make([]string, 0, len(overlays)+1)
	var merged *node
	for _, f := range append([]File{base}, overlays...) {
		names = append(names, f.Name)
		root, treeFaults := parse(f)
		faults = append(faults, treeFaults...)
		// Each file is also decoded separately, because a value of an overlay
		// can replace a faulty value of the base.
		fileDecoder := newDecoder()
		fileDecoder.decode("", root, reflect.ValueOf(new(tpmessage.Config)).Elem())
		faults = append(faults, fileDecoder.faults...)
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
		c := &checker{cfg: &cfg, at: d.at, invalid: d.invalid}
		c.check()
		faults = append(faults, c.faults...)
	}
	if len(faults) > 0 {
		return tpmessage.Config{}, faults.sorted(names...)
	}
	return cfg, nil
}
