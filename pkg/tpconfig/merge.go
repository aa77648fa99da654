package tpconfig

import "slices"

// merge returns base changed by overlay. Mappings are merged field by field,
// and lists of named entries entry by entry; any other value of the overlay
// takes the place of the base's. An overlay cannot remove an entry.
func merge(base, overlay *node) *node {
	switch {
	case overlay.kind == kindNull:
		return base
	case base.kind == kindMapping && overlay.kind == kindMapping:
		return mergeMappings(base, overlay)
	case base.kind == kindList && overlay.kind == kindList && named(base) && named(overlay):
		return mergeLists(base, overlay)
	default:
		return overlay
	}
}

func mergeMappings(base, overlay *node) *node {
	merged := &node{pos: base.pos, kind: kindMapping, fields: slices.Clone(base.fields)}
	for _, f := range overlay.fields {
		i := slices.IndexFunc(merged.fields, func(b field) bool { return b.name == f.name })
		if i < 0 {
			merged.fields = append(merged.fields, f)
			continue
		}
		v := merge(merged.fields[i].value, f.value)
		if v == f.value {
			merged.fields[i].pos = f.pos
		}
		merged.fields[i].value = v
	}
	return merged
}

func mergeLists(base, overlay *node) *node {
	merged := &node{pos: base.pos, kind: kindList, items: slices.Clone(base.items)}
	at := make(map[string]int, len(base.items))
	for i, item := range base.items {
		at[item.key()] = i
	}
	for _, item := range overlay.items {
		if i, ok := at[item.key()]; ok {
			merged.items[i] = merge(merged.items[i], item)
			continue
		}
		merged.items = append(merged.items, item)
	}
	return merged
}

// named reports whether every entry of a list has a name.
func named(list *node) bool {
	return !slices.ContainsFunc(list.items, func(n *node) bool { return n.key() == "" })
}
