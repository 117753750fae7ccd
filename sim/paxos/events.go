package paxos

type event struct {
	at, order int64
	do        func()
}

type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *events) Push(x any) { *q = append(*q, x.(event)) }

func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
