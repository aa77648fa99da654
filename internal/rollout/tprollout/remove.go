package tprollout

import (
	"context"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// sweepEvery is the number of generations between two sweeps. A sweep lists
// all part objects, near a megabyte; the direct removal after each change
// leaves only the objects of operators that were killed.
const sweepEvery = 64

// removeReplaced removes the part objects that neither head nor the one before
// it, old, names. The errors are left to the next sweep.
func removeReplaced(ctx context.Context, store tpobject.Store, old, head tpmessage.Head) {
	var objects []string
	for _, object := range old.Replaced {
		if object != "" {
			objects = append(objects, object)
		}
	}
	removeObjects(ctx, store, objects)
	if head.Generation%sweepEvery == 0 {
		_ = Sweep(ctx, store, head)
	}
}

// removeObjects removes objects whatever their version; nothing changes a part
// object once it is written.
func removeObjects(ctx context.Context, store tpobject.Store, objects []string) {
	for _, object := range objects {
		o, err := store.Get(ctx, object)
		if err == nil {
			_ = store.Delete(ctx, object, o.Version)
		}
	}
}

// Sweep removes the part objects that neither head nor the generation before
// it names. It spares those of head's generation and above, whose operators may
// be about to commit or to remove them. An operator whose part it removes is
// too late to be accepted.
func Sweep(ctx context.Context, store tpobject.Store, head tpmessage.Head) error {
	named := make(map[string]bool)
	for _, h := range []tpmessage.Head{head, Previous(head)} {
		for _, object := range h.Parts {
			named[object] = true
		}
	}
	list, err := store.List(ctx, PartPrefix)
	if err != nil {
		return err
	}
	for _, o := range list {
		if !named[o.Name] && objectGeneration(o.Name) < head.Generation {
			_ = store.Delete(ctx, o.Name, o.Version)
		}
	}
	return nil
}
