package tphistory

import (
	"fmt"

	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// CheckOrders returns an error if one engine's history of orders contains a
// conflict. Orders conflict if two different orders have the same number, if an
// order takes effect while another one is in progress, or if an order takes
// effect after an order with a higher number or fencing number.
func CheckOrders(log []tpenginefake.OrderEvent) error {
	wants := make(map[uint64]tpmessage.EngineState)
	var last tpmessage.Order
	for i, e := range log {
		if e.Kind != tpenginefake.OrderApplied && e.Kind != tpenginefake.OrderRepeat {
			continue
		}
		if want, ok := wants[e.Order.Number]; ok && want != e.Order.Want {
			return fmt.Errorf("event %d: order %d requests both %v and %v", i, e.Order.Number, want, e.Order.Want)
		}
		wants[e.Order.Number] = e.Order.Want
		if e.Kind == tpenginefake.OrderApplied && e.ChangeInProgress {
			return fmt.Errorf("event %d: order %+v took effect while order %+v was in progress", i, e.Order, last)
		}
		if e.Order.Number < last.Number || e.Order.Fencing < last.Fencing {
			return fmt.Errorf("event %d: order %+v took effect after %+v", i, e.Order, last)
		}
		last = e.Order
	}
	return nil
}
