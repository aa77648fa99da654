package tpallot

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// ask is the demand of one receiver.
type ask struct {
	receiver string
	demand   float64 // requests a second
	room     int     // allowances that are of use at most
}

// appendAsk appends the ask in a load unless the receiver has no use for an
// allowance, or took one so lately that its load does not show it.
func appendAsk(asks []ask, receiver string, l *tpmessage.NodeLoad, key string, acc *account, roomDelay time.Duration) []ask {
	for i := range l.Limits {
		limit := &l.Limits[i]
		if limit.Target != key {
			continue
		}
		room := limit.Room
		if acc != nil {
			if l.At.Before(acc.deliveredAt.Add(roomDelay)) {
				return asks
			}
			room -= acc.count()
		}
		if room > 0 && limit.Demand > 0 {
			asks = append(asks, ask{receiver: receiver, demand: limit.Demand, room: room})
		}
		return asks
	}
	return asks
}

// divide divides n allowances among the receivers in proportion to their demand
// and returns the positive parts. No part exceeds the room of its receiver. The
// rest of the division is drawn one by one.
func (a *Allotter) divide(n int, asks []ask) map[string]int {
	if n <= 0 || len(asks) == 0 {
		return nil
	}
	total := 0.0
	for _, k := range asks {
		total += k.demand
	}
	parts, left := make(map[string]int), n
	for _, k := range asks {
		if part := min(k.room, int(float64(n)*k.demand/total)); part > 0 {
			parts[k.receiver] = part
			left -= part
		}
	}
	for _, k := range asks {
		// More is left than there are receivers if some of these have no room.
		if part := min(k.room-parts[k.receiver], left-len(asks)); part > 0 {
			parts[k.receiver] += part
			left -= part
		}
	}
	for ; left > 0; left-- {
		drawn := a.draw(asks, parts)
		if drawn < 0 {
			break
		}
		parts[asks[drawn].receiver]++
	}
	return parts
}

// draw returns the index of a receiver with room, with a probability in
// proportion to its demand, or -1 if none has room.
func (a *Allotter) draw(asks []ask, parts map[string]int) int {
	total := 0.0
	for _, k := range asks {
		if parts[k.receiver] < k.room {
			total += k.demand
		}
	}
	at, last := a.Random.Float64()*total, -1
	for i, k := range asks {
		if parts[k.receiver] >= k.room {
			continue
		}
		last = i
		if at -= k.demand; at < 0 {
			return i
		}
	}
	return last
}
