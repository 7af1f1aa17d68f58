package scheduler

import "time"

// minRetention is the minimum time for which a recentMap keeps its entries.
// Delayed events arrive within seconds.
const minRetention = time.Minute

// recentMap is a map that drops entries after one to two times minRetention.
type recentMap[K comparable, V any] struct {
	current, previous map[K]V
	rotatedAt         time.Time
}

// newRecentMap returns an empty map.
func newRecentMap[K comparable, V any]() *recentMap[K, V] {
	return &recentMap[K, V]{current: map[K]V{}}
}

// put sets an entry and drops old ones.
func (rec *recentMap[K, V]) put(now time.Time, key K, val V) {
	if now.Sub(rec.rotatedAt) > minRetention {
		rec.previous, rec.current, rec.rotatedAt = rec.current, map[K]V{}, now
	}
	rec.current[key] = val
}

// get returns an entry that has not been dropped.
func (rec *recentMap[K, V]) get(key K) (val V, ok bool) {
	if val, ok = rec.current[key]; ok {
		return val, true
	}
	val, ok = rec.previous[key]
	return val, ok
}

// remove removes an entry before its time.
func (rec *recentMap[K, V]) remove(key K) {
	delete(rec.current, key)
	delete(rec.previous, key)
}
