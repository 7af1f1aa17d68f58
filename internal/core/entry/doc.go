// Package entry is the reducer of a whole entry: what it does upon each event,
// as a new state and a list of effects.
//
// Reduce is pure and deterministic. It reads no clock, draws no randomness
// beyond the generator in the state, and starts nothing. Whoever drives it
// must keep to these rules:
//
//   - Events come one at a time, with a time that never goes back. The first
//     is event.Started, and event.Tick follows as soon as State.TickWithin says
//     after the last one. More ticks do no harm.
//   - Effects are carried out in their order. Each says in its comment which
//     event must follow.
//   - Messages of one link arrive in their order or not at all. When one is
//     lost, event.PeerDown tells the entry before any later message arrives.
package entry
