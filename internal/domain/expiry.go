package domain

// expiry groups keys by the minute of their timestamp, so that old keys are found without a scan of all keys.
type expiry[K any] struct {
	minutes map[int64][]K // by minutes since the Unix epoch
	oldest  int64         // no group is older than this minute
}

const msPerMinute = 60_000

func (e *expiry[K]) add(unixMs int64, key K) {
	minute := unixMs / msPerMinute
	if len(e.minutes) == 0 {
		e.minutes = map[int64][]K{}
		e.oldest = minute
	}
	e.oldest = min(e.oldest, minute)
	e.minutes[minute] = append(e.minutes[minute], key)
}

// takeBefore removes and returns the keys of all minutes that ended at or before unixMs.
func (e *expiry[K]) takeBefore(unixMs int64) []K {
	var taken []K
	for len(e.minutes) > 0 && e.oldest < unixMs/msPerMinute {
		taken = append(taken, e.minutes[e.oldest]...)
		delete(e.minutes, e.oldest)
		e.oldest++
	}
	return taken
}
