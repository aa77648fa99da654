package tpconfig

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Diff returns the changes between two configurations, one a line. A line
// begins with "+" for an added entry, "-" for a removed entry, and "~" for a
// changed value. Entries of lists are compared by their names; their order has
// no influence.
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
			d.compare(joinPath(path, name), from.Field(i), to.Field(i))
		}
	case reflect.Slice:
		d.compareEntries(path, listEntries(from), listEntries(to))
	case reflect.Map:
		d.compareEntries(path, mapEntries(from), mapEntries(to))
	default:
		if !from.Equal(to) {
			d.lines = append(d.lines, fmt.Sprintf("~ %s: %s -> %s", path, formatValue(from), formatValue(to)))
		}
	}
}

// entry is one named value of a list or mapping.
type entry struct {
	key   string
	value reflect.Value
}

func (d *differ) compareEntries(path string, from, to []entry) {
	oldValues := make(map[string]reflect.Value, len(from))
	for _, e := range from {
		oldValues[e.key] = e.value
	}
	present := make(map[string]bool, len(to))
	for _, e := range to {
		entryPath := fmt.Sprintf("%s[%s]", path, e.key)
		present[e.key] = true
		if v, ok := oldValues[e.key]; ok {
			d.compare(entryPath, v, e.value)
			continue
		}
		d.lines = append(d.lines, fmt.Sprintf("+ %s%s", entryPath, summary(e.value)))
	}
	for _, e := range from {
		if !present[e.key] {
			d.lines = append(d.lines, fmt.Sprintf("- %s[%s]%s", path, e.key, summary(e.value)))
		}
	}
}

// listEntries returns the entries of a list. The key of an entry is its name or
// path, or its value if it is not a struct.
func listEntries(list reflect.Value) []entry {
	var entries []entry
	for i := range list.Len() {
		v := list.Index(i)
		key := fmt.Sprint(v.Interface())
		if v.Kind() == reflect.Struct {
			key = v.Field(0).String() // Name or Path is the first field of each struct in a list.
		}
		entries = append(entries, entry{key: key, value: v})
	}
	return entries
}

func mapEntries(m reflect.Value) []entry {
	var entries []entry
	for _, k := range m.MapKeys() {
		entries = append(entries, entry{key: k.String(), value: m.MapIndex(k)})
	}
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.key, b.key) })
	return entries
}

// summary formats the fields of an added or removed entry that are not zero. It
// leaves out the key.
func summary(v reflect.Value) string {
	if v.Kind() != reflect.Struct {
		if v.Kind() == reflect.String {
			return ""
		}
		return ": " + formatValue(v)
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
		fields = append(fields, name+" "+formatValue(f))
	}
	if len(fields) == 0 {
		return ""
	}
	return ": " + strings.Join(fields, ", ")
}

func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}
