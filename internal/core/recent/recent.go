// Package recent keeps what a process still has to know of for a while after it ended, in
// a bounded amount of memory.
package recent

import "time"

// minRetention is the minimum time for which a Map keeps its entries.
// Delayed events arrive within seconds.
const minRetention = time.Minute

// Map is a map that drops entries after one to two times minRetention.
type Map[K comparable, V any] struct {
	current, previous map[K]V
	rotatedAt         time.Time
}

// NewMap returns an empty map.
func NewMap[K comparable, V any]() *Map[K, V] {
	return &Map[K, V]{current: map[K]V{}}
}

// Put sets an entry and drops old ones.
func (rec *Map[K, V]) Put(now time.Time, key K, val V) {
	if now.Sub(rec.rotatedAt) > minRetention {
		rec.previous, rec.current, rec.rotatedAt = rec.current, map[K]V{}, now
	}
	rec.current[key] = val
}

// Get returns an entry that has not been dropped.
func (rec *Map[K, V]) Get(key K) (val V, ok bool) {
	if val, ok = rec.current[key]; ok {
		return val, true
	}
	val, ok = rec.previous[key]
	return val, ok
}

// Remove removes an entry before its time.
func (rec *Map[K, V]) Remove(key K) {
	delete(rec.current, key)
	delete(rec.previous, key)
}
