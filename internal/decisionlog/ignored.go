package decisionlog

// Limits of what is logged and kept of ignored entries, which are of other
// writers.
const (
	// maxIgnored is how many entries are kept to log each revision once.
	maxIgnored = 1024
	// maxIgnoredText is how many bytes of a key and of an error are logged.
	maxIgnoredText = 300
)

// Ignored logs that an item of the store was ignored, once for each revision.
func (log *Log) Ignored(key string, revision int64, err error) {
	if !log.firstIgnored(key, revision) {
		return
	}
	log.Event("entry_ignored", Fields{"key": cut(key), "revision": revision, "error": cut(err.Error())})
}

// firstIgnored reports whether a revision of an item is ignored for the first
// time, as far as that is kept.
func (log *Log) firstIgnored(key string, revision int64) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	if last, ok := log.ignored[key]; ok && last >= revision {
		return false
	}
	if len(log.ignored) >= maxIgnored {
		clear(log.ignored)
	}
	log.ignored[key] = revision
	return true
}

func cut(text string) string {
	if len(text) <= maxIgnoredText {
		return text
	}
	return text[:maxIgnoredText] + "..."
}
