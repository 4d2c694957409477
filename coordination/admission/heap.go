package admission

// heap is a binary heap that tells its items where they are, so that any of
// them can be moved or removed in logarithmic time.
type heap[T any] struct {
	// less orders the items; the least is at index 0.
	less func(a, b T) bool
	// place is told each item's index, and -1 on removal.
	setIndex func(item T, index int)
	items    []T
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	last := len(h.items) - 1
	h.setIndex(item, last)
	h.up(last)
}

// fix restores the order after the item at index i has changed.
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

// down reports whether the item has moved.
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
