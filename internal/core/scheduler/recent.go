package scheduler

import "time"

// recentTime is for how long at least a recent map keeps its entries. Events
// that come late are seconds late.
const recentTime = time.Minute

// recent keeps entries for between one and two times recentTime.
type recent[K comparable, V any] struct {
	present, former map[K]V
	turned          time.Time
}

func newRecent[K comparable, V any]() *recent[K, V] { return &recent[K, V]{present: map[K]V{}} }

func (rec *recent[K, V]) put(now time.Time, key K, val V) {
	if now.Sub(rec.turned) > recentTime {
		rec.former, rec.present, rec.turned = rec.present, map[K]V{}, now
	}
	rec.present[key] = val
}

func (rec *recent[K, V]) get(key K) (val V, ok bool) {
	if val, ok = rec.present[key]; ok {
		return val, true
	}
	val, ok = rec.former[key]
	return val, ok
}

func (rec *recent[K, V]) remove(key K) {
	delete(rec.present, key)
	delete(rec.former, key)
}
