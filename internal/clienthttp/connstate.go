package clienthttp

// A connection's phases. Whoever moves it on does so by a compare-and-swap, so that a connection is never closed to
// make room once a request on it has been taken.
const (
	quiet    int32 = iota // net/http waits for a request, and no byte of one has been read
	reading               // part of a request has been read, or all of it and its handler has not claimed it
	active                // a request is open
	answered              // a request has its answer, and net/http may hold bytes of the next that it read ahead
	spent                 // a request was refused, and what is left of it is read away; no other follows
	evicted               // closed to make room; nothing read from it counts any more
)

// phaseNames are the phases as logs tell them.
var phaseNames = [...]string{quiet: "QUIET", reading: "READING", active: "ACTIVE", answered: "ANSWERED", spent: "REFUSED", evicted: "EVICTED"}
