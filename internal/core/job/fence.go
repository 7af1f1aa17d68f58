package job

// FencePrefix is the prefix of the keys of fences.
const FencePrefix = "fence/"

// FenceKey returns the key of the fence of a job.
func FenceKey(id ID) string { return FencePrefix + string(id) }

// Fence is the record that keeps a job from being accepted by a write that got no answer and
// that the store may still carry out. A submission is stored on the condition that the fence
// of its job is at the revision at which the submission found it.
type Fence struct {
	// Final is set if the job was cancelled before it was accepted. Without it the fence
	// bars earlier submissions only.
	Final bool `msgpack:"f,omitempty"`
}
