package admission

// heap is a binary heap that reports the index of each item, so that any item can
// be moved or removed in logarithmic time.
type heap[T any] struct {
	// less orders the items; the least is at index 0.
	less func(a, b T) bool
	// setIndex is called with the new index of an item that moved, and with -1
	// for an item that was removed.
	setIndex func(item T, index int)
	items    []T
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	last := len(h.items) - 1
	h.setIndex(item, last)
	h.up(last)
}

// fix restores the order after the item at index i was changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	item := h.items[i]
	if i != last {
		h.swap(i, last)
	}
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(item, -1)
	if i != last {
		h.fix(i)
	}
}

// first returns the least item; false when the heap is empty.
func (h *heap[T]) first() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the item at index i down to its place; it reports whether the item
// moved.
func (h *heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i != start
}
