package scheduler

import "time"

// minRetention is for how long at least a recent map keeps its entries. Events
// that come late are seconds late.
const minRetention = time.Minute

// recentMap keeps entries for between one and two times recentTime.
type recentMap[K comparable, V any] struct {
	current, previous map[K]V
	rotatedAt         time.Time
}

func newRecentMap[K comparable, V any]() *recentMap[K, V] {
	return &recentMap[K, V]{current: map[K]V{}}
}

func (rec *recentMap[K, V]) put(now time.Time, key K, val V) {
	if now.Sub(rec.rotatedAt) > minRetention {
		rec.previous, rec.current, rec.rotatedAt = rec.current, map[K]V{}, now
	}
	rec.current[key] = val
}

func (rec *recentMap[K, V]) get(key K) (val V, ok bool) {
	if val, ok = rec.current[key]; ok {
		return val, true
	}
	val, ok = rec.previous[key]
	return val, ok
}

func (rec *recentMap[K, V]) remove(key K) {
	delete(rec.current, key)
	delete(rec.previous, key)
}
