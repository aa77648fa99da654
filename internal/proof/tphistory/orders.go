package tphistory

import (
	"fmt"

	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// CheckOrders checks one engine's own history of orders. An engine receives
// conflicting orders if two different orders carry one number, if an order
// takes effect during another one, or after one that is newer by its number
// or its fencing number.
func CheckOrders(log []tpenginefake.OrderEvent) error {
	wants := make(map[uint64]tpmessage.EngineState)
	var last tpmessage.Order
	for i, e := range log {
		if e.Kind != tpenginefake.OrderApplied && e.Kind != tpenginefake.OrderRepeat {
			continue
		}
		if want, ok := wants[e.Order.Number]; ok && want != e.Order.Want {
			return fmt.Errorf("event %d: order %d asks for %v and for %v", i, e.Order.Number, want, e.Order.Want)
		}
		wants[e.Order.Number] = e.Order.Want
		if e.Kind == tpenginefake.OrderApplied && e.Busy {
			return fmt.Errorf("event %d: order %+v came during order %+v", i, e.Order, last)
		}
		if e.Order.Number < last.Number || e.Order.Fencing < last.Fencing {
			return fmt.Errorf("event %d: order %+v took effect after %+v", i, e.Order, last)
		}
		last = e.Order
	}
	return nil
}
