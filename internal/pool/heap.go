package pool

// heap is a binary heap that reports the index of each element through setIndex, so that any element can be removed.
// The index of a removed element is -1.
type heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(v T, i int)
}

func (h *heap[T]) push(v T) {
	h.items = append(h.items, v)
	h.setIndex(v, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	h.setIndex(h.items[i], -1)
	if i != last {
		h.items[i] = h.items[last]
		h.setIndex(h.items[i], i)
	}
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.fix(i)
	}
}

func (h *heap[T]) fix(i int) {
	h.down(i)
	h.up(i)
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

func (h *heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}
