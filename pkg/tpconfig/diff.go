package tpconfig

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Diff returns the changes from one configuration to another as readable
// lines: "+" adds an entry or value, "-" removes one, "~" changes a value.
// Entries of lists are known by their names, whatever their order.
func Diff(from, to *tpmessage.Config) []string {
	d := &differ{}
	d.compare("", reflect.ValueOf(*from), reflect.ValueOf(*to))
	return d.lines
}

type differ struct{ lines []string }

func (d *differ) compare(path string, from, to reflect.Value) {
	switch from.Kind() {
	case reflect.Struct:
		for i := range from.NumField() {
			name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("yaml"), ",")
			d.compare(join(path, name), from.Field(i), to.Field(i))
		}
	case reflect.Slice:
		d.entries(path, keyed(from), keyed(to))
	case reflect.Map:
		d.entries(path, mapped(from), mapped(to))
	default:
		if !from.Equal(to) {
			d.lines = append(d.lines, fmt.Sprintf("~ %s: %s -> %s", path, show(from), show(to)))
		}
	}
}

// entry is one named value of a list or mapping.
type entry struct {
	key   string
	value reflect.Value
}

func (d *differ) entries(path string, from, to []entry) {
	old := make(map[string]reflect.Value, len(from))
	for _, e := range from {
		old[e.key] = e.value
	}
	kept := make(map[string]bool, len(to))
	for _, e := range to {
		at := fmt.Sprintf("%s[%s]", path, e.key)
		kept[e.key] = true
		if v, ok := old[e.key]; ok {
			d.compare(at, v, e.value)
			continue
		}
		d.lines = append(d.lines, fmt.Sprintf("+ %s%s", at, suffix(e.value)))
	}
	for _, e := range from {
		if !kept[e.key] {
			d.lines = append(d.lines, fmt.Sprintf("- %s[%s]%s", path, e.key, suffix(e.value)))
		}
	}
}

// keyed names the entries of a list by their name, path or own value.
func keyed(list reflect.Value) []entry {
	var entries []entry
	for i := range list.Len() {
		v := list.Index(i)
		key := fmt.Sprint(v.Interface())
		if v.Kind() == reflect.Struct {
			key = v.Field(0).String() // Name or Path comes first in each struct of a list.
		}
		entries = append(entries, entry{key: key, value: v})
	}
	return entries
}

func mapped(m reflect.Value) []entry {
	var entries []entry
	for _, k := range m.MapKeys() {
		entries = append(entries, entry{key: k.String(), value: m.MapIndex(k)})
	}
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.key, b.key) })
	return entries
}

// suffix shows the fields of an added or removed entry that are not zero.
func suffix(v reflect.Value) string {
	if v.Kind() != reflect.Struct {
		if v.Kind() == reflect.String {
			return ""
		}
		return ": " + show(v)
	}
	var fields []string
	for i := 1; i < v.NumField(); i++ {
		f := v.Field(i)
		if f.IsZero() {
			continue
		}
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if f.Kind() == reflect.Slice {
			fields = append(fields, fmt.Sprintf("%d %s", f.Len(), name))
			continue
		}
		fields = append(fields, name+" "+show(f))
	}
	if len(fields) == 0 {
		return ""
	}
	return ": " + strings.Join(fields, ", ")
}

func show(v reflect.Value) string {
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}
