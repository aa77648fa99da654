package tprollout

import (
	"context"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// sweepInterval is the number of generations between two sweeps. A sweep lists
// all part objects, nearly 1 MB. It is rarely needed, because the direct
// removal after each change leaves only the objects of operators that were
// killed.
const sweepInterval = 64

// removeReplaced removes the part objects that old, the predecessor of head,
// has replaced. Neither of the two heads names them. It ignores errors, because
// the next sweep removes the remaining objects.
func removeReplaced(ctx context.Context, store tpobject.Store, old, head tpmessage.Head) {
	var objects []string
	for _, object := range old.Replaced {
		if object != "" {
			objects = append(objects, object)
		}
	}
	removeObjects(ctx, store, objects)
	if head.Generation%sweepInterval == 0 {
		_ = RemoveUnreferenced(ctx, store, head)
	}
}

// removeObjects removes part objects of any version, since a part object never
// changes after it was written. It ignores errors.
func removeObjects(ctx context.Context, store tpobject.Store, objects []string) {
	for _, object := range objects {
		o, err := store.Get(ctx, object)
		if err == nil {
			_ = store.Delete(ctx, object, o.Version)
		}
	}
}

// RemoveUnreferenced removes the part objects that neither head nor the
// generation before it names. It keeps objects of head's generation and above,
// because their operators may still commit or remove them. An operator whose
// part is removed can no longer be accepted, because its generation is
// outdated. Errors of single removals are ignored.
func RemoveUnreferenced(ctx context.Context, store tpobject.Store, head tpmessage.Head) error {
	referenced := make(map[string]bool)
	for _, h := range []tpmessage.Head{head, Previous(head)} {
		for _, object := range h.Parts {
			referenced[object] = true
		}
	}
	stored, err := store.List(ctx, PartPrefix)
	if err != nil {
		return err
	}
	for _, o := range stored {
		if !referenced[o.Name] && objectGeneration(o.Name) < head.Generation {
			_ = store.Delete(ctx, o.Name, o.Version)
		}
	}
	return nil
}
