package main

import (
	"math/rand/v2"
	"sync"
)

// dice throws numbers that depend on a seed only. It is safe for concurrent use.
type dice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newDice(seed uint64) *dice { return &dice{rng: rand.New(rand.NewPCG(seed, 1))} }

func (dic *dice) float() float64 {
	dic.mu.Lock()
	defer dic.mu.Unlock()
	return dic.rng.Float64()
}
