package eventloop

// compactDivisor: a queue copies what it holds into a smaller array where that is less than this part of its array.
const compactDivisor = 4

// queue holds bytes in order. Its array shrinks with its content, so that a connection keeps no more memory than it needs.
type queue struct {
	array []byte
	start int // of the content in array
}

// bytes returns the content. The slice is valid until the next change.
func (q *queue) bytes() []byte { return q.array[q.start:] }

func (q *queue) len() int { return len(q.array) - q.start }

// heldBytes is the size of the queue's array.
func (q *queue) heldBytes() int { return cap(q.array) }

// append adds bytes at the end.
func (q *queue) append(b []byte) {
	if q.start > 0 && len(q.array)+len(b) > cap(q.array) {
		q.move()
	}
	q.array = append(q.array, b...)
}

// discard drops the first n bytes.
func (q *queue) discard(n int) {
	if q.start += n; q.start >= len(q.array) {
		*q = queue{}
	} else if q.len() < cap(q.array)/compactDivisor {
		q.move()
	}
}

// move copies the content into an array of its own size.
func (q *queue) move() {
	q.array = append(make([]byte, 0, q.len()), q.bytes()...)
	q.start = 0
}
