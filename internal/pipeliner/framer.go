package pipeliner

import "bytes"

// framer divides the bytes that a caller sends so that the server's reader never
// holds bytes of two requests: whenever the server calls its handler, the bytes that
// the server has are exactly those up to the end of that request's head. The framer
// does not interpret heads; it finds the empty line at their end, and the server tells
// it what body follows. It does no I/O.
type framer struct {
	state framing
	left  int64 // bytes of the body, or of the chunk, that are still to come
	// lineEnd is the progress within "\n\n" or "\n\r\n" at the end of a head: 0, 1 after
	// "\n", 2 after "\n\r".
	lineEnd int
	partial bool // state is inHead, and a part of the head was taken
	digits  int  // of the size of the chunk
}

// framing is the part of a request that the next byte belongs to.
type framing int

const (
	inHead framing = iota
	inBody         // of a known length
	inChunkSize
	inChunkExtension
	afterChunkSize // before the line feed
	inChunk
	afterChunk     // before the carriage return
	afterChunkCR   // before the line feed
	afterLastChunk // before the carriage return of the empty line; trailers are not followed
	afterLastCR    // before the line feed of the empty line
	unknown        // the boundaries of requests are not known any more
)

// atBoundary reports whether the next byte is the first one of a head.
func (f *framer) atBoundary() bool { return f.state == inHead && !f.partial }

// expectBody announces the body of the request whose head was taken last: its length,
// or -1 if it is chunked.
func (f *framer) expectBody(length int64) {
	switch {
	case f.state == unknown || length == 0:
	case !f.atBoundary():
		f.state = unknown
	case length < 0:
		f.state, f.left, f.digits = inChunkSize, 0, 0
	default:
		f.state, f.left = inBody, length
	}
}

// take returns how many of the bytes may be handed out now; at least one if there are
// any. It ends at the end of a head and at the end of a body.
func (f *framer) take(b []byte) int {
	switch f.state {
	case inHead:
		n, lineEnd := findHeadEnd(b, f.lineEnd)
		f.lineEnd, f.partial = lineEnd, lineEnd != headEnded
		if lineEnd == headEnded {
			f.lineEnd = 0
		}
		return n
	case inBody:
		n := int(min(f.left, int64(len(b))))
		f.left -= int64(n)
		if f.left == 0 {
			f.state = inHead
		}
		return n
	case unknown:
		return len(b)
	}
	return f.takeChunked(b)
}

const headEnded = 3 // progress at the end of a head

// findHeadEnd returns the number of bytes up to the end of the head, or all, and the
// progress of a framer's lineEnd after them.
func findHeadEnd(b []byte, progress int) (int, int) {
	for i := 0; i < len(b); i++ {
		if progress == 0 {
			lineFeed := bytes.IndexByte(b[i:], '\n')
			if lineFeed < 0 {
				return len(b), 0
			}
			i += lineFeed
		}
		switch {
		case b[i] == '\n' && progress > 0:
			return i + 1, headEnded
		case b[i] == '\n':
			progress = 1
		case b[i] == '\r' && progress == 1:
			progress = 2
		default:
			progress = 0
		}
	}
	return len(b), progress
}

// takeChunked returns the length of b up to the end of a chunked body.
func (f *framer) takeChunked(b []byte) int {
	for i := 0; i < len(b); {
		if f.state == inChunk {
			n := int(min(f.left, int64(len(b)-i)))
			f.left -= int64(n)
			i += n
			if f.left == 0 {
				f.state = afterChunk
			}
			continue
		}
		f.stepChunked(b[i])
		i++
		switch f.state {
		case inHead:
			return i
		case unknown:
			return len(b)
		}
	}
	return len(b)
}

const maxSizeDigits = 15 // hexadecimal; the size fits an int64

// stepChunked takes one byte of a chunked body outside of a chunk's data.
func (f *framer) stepChunked(c byte) {
	switch f.state {
	case inChunkSize:
		f.takeSizeByte(c)
	case inChunkExtension:
		switch c {
		case '\r':
			f.state = afterChunkSize
		case '\n':
			f.state = unknown
		}
	case afterChunkSize:
		switch {
		case c != '\n':
			f.state = unknown
		case f.left == 0:
			f.state = afterLastChunk
		default:
			f.state = inChunk
		}
	case afterChunk:
		f.require(c, '\r', afterChunkCR)
	case afterChunkCR:
		f.require(c, '\n', inChunkSize)
		f.left, f.digits = 0, 0
	case afterLastChunk:
		f.require(c, '\r', afterLastCR)
	case afterLastCR:
		f.require(c, '\n', inHead)
	}
}

// require enters a state if c is the required byte.
func (f *framer) require(c, required byte, state framing) {
	if c != required {
		state = unknown
	}
	f.state = state
}

// takeSizeByte takes one byte of the line that begins with the size of a chunk.
func (f *framer) takeSizeByte(c byte) {
	digit := int64(-1)
	switch {
	case c >= '0' && c <= '9':
		digit = int64(c - '0')
	case c >= 'a' && c <= 'f':
		digit = int64(c-'a') + 10
	case c >= 'A' && c <= 'F':
		digit = int64(c-'A') + 10
	}
	switch {
	case digit >= 0 && f.digits < maxSizeDigits:
		f.left = f.left<<4 | digit
		f.digits++
	case c == ';' && f.digits > 0:
		f.state = inChunkExtension
	case c == '\r' && f.digits > 0:
		f.state = afterChunkSize
	default:
		f.state = unknown
	}
}
