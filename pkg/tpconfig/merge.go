package tpconfig

import "slices"

// merge returns base with the changes of overlay. It merges mappings field by
// field, and lists of named entries entry by entry. Any other value of overlay
// replaces that of base. A null value of overlay leaves base as it is, and an
// overlay cannot remove an entry.
func merge(base, overlay *node) *node {
	switch {
	case overlay.kind == kindNull:
		return base
	case base.kind == kindMapping && overlay.kind == kindMapping:
		return mergeMappings(base, overlay)
	case base.kind == kindList && overlay.kind == kindList && allNamed(base) && allNamed(overlay):
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
	indexes := make(map[string]int, len(base.items))
	for i, item := range base.items {
		indexes[item.key()] = i
	}
	for _, item := range overlay.items {
		if i, ok := indexes[item.key()]; ok {
			merged.items[i] = merge(merged.items[i], item)
			continue
		}
		merged.items = append(merged.items, item)
	}
	return merged
}

// allNamed reports whether every entry of a list has a key.
func allNamed(list *node) bool {
	return !slices.ContainsFunc(list.items, func(n *node) bool { return n.key() == "" })
}
