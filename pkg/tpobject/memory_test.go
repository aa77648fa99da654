package tpobject_test

import (
	"testing"

	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpobject/tpobjecttest"
)

// Guards against a Memory that breaks a rule of Store, such as one that loses a
// conditional update or repeats a version.
func TestMemoryConforms(t *testing.T) {
	tpobjecttest.Run(t, func(*testing.T) tpobject.Store { return new(tpobject.Memory) })
}
