package tpconfig_test

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/node/tpnode"
	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against a reference that lacks a field, describes one that no longer
// exists, or gives it another type.
func TestSettingsReference(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	deployment, node, ok := strings.Cut(string(page), "## Settings of a node")
	if !ok {
		t.Fatal("the page has no section on the settings of a node")
	}
	node, relay, ok := strings.Cut(node, "## Settings of a relay node")
	if !ok {
		t.Fatal("the page has no section on the settings of a relay node")
	}
	for _, c := range []struct {
		text string
		of   reflect.Type
	}{
		{deployment, reflect.TypeFor[tpmessage.Config]()},
		{node, reflect.TypeFor[tpnode.Settings]()},
		{relay, reflect.TypeFor[tprelaynode.Settings]()},
	} {
		want := make(map[string]string)
		fields("", c.of, want)
		got := rows(c.text)
		for path, kind := range want {
			if !strings.HasPrefix(got[path], kind) {
				t.Errorf("%s in docs/settings.md: got type %q, want one that begins with %q", path, got[path], kind)
			}
		}
		for path := range got {
			if want[path] == "" {
				t.Errorf("%s in docs/settings.md: %s has no such field", path, c.of)
			}
		}
	}
}

// fields collects the paths of all fields of a type with their kind.
func fields(path string, typ reflect.Type, out map[string]string) {
	switch {
	case typ == reflect.TypeFor[time.Duration]():
		out[path] = "duration"
	case typ.Kind() == reflect.Struct:
		for i := range typ.NumField() {
			f := typ.Field(i)
			name := f.Tag.Get("yaml")
			if path != "" {
				name = path + "." + name
			}
			fields(name, f.Type, out)
		}
	case typ.Kind() == reflect.Slice:
		fields(path+"[]", typ.Elem(), out)
	case typ.Kind() == reflect.Map:
		fields(path+"{}", typ.Elem(), out)
	case typ.Kind() == reflect.String:
		out[path] = "text"
	case typ.Kind() == reflect.Bool:
		out[path] = "true or false"
	case typ.Kind() == reflect.Float64:
		out[path] = "number"
	default:
		out[path] = "whole number"
	}
}

// rows reads the first two columns of the page's tables.
func rows(text string) map[string]string {
	rows := make(map[string]string)
	for line := range strings.Lines(text) {
		cells := strings.Split(line, "|")
		if len(cells) < 5 || !strings.HasPrefix(line, "| `") {
			continue
		}
		rows[strings.Trim(cells[1], " `")] = strings.TrimSpace(cells[2])
	}
	return rows
}
