package domain

// expiry groups keys by the minute after which they may be dropped, so that dropping old ones does not read the rest.
type expiry[K any] struct {
	minutes map[int64][]K
	oldest  int64
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

// takeBefore removes and returns the keys of all whole minutes before unixMs.
func (e *expiry[K]) takeBefore(unixMs int64) []K {
	var taken []K
	for len(e.minutes) > 0 && e.oldest < unixMs/msPerMinute {
		taken = append(taken, e.minutes[e.oldest]...)
		delete(e.minutes, e.oldest)
		e.oldest++
	}
	return taken
}
