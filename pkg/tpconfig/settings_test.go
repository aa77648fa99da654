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

// Guards against a settings reference that omits a field, describes a field
// that no longer exists, or states a wrong type.
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
		collectFields("", c.of, want)
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

// collectFields maps the path of each field of a type to the name of its type
// in the reference.
func collectFields(path string, typ reflect.Type, out map[string]string) {
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
			collectFields(name, f.Type, out)
		}
	case typ.Kind() == reflect.Slice:
		collectFields(path+"[]", typ.Elem(), out)
	case typ.Kind() == reflect.Map:
		collectFields(path+"{}", typ.Elem(), out)
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

// rows returns the first two columns of the page's tables: field paths and
// types.
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
