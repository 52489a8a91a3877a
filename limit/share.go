package limit

// Shares returns how many slots of each replica of one shard belong to the home with the
// given index out of homes. slots is the capacity of one replica. The slots of all
// replicas are dealt out round-robin, so every home gets at least one slot of the shard
// while homes is at most replicas times slots. The shares are all 0 for an index out of
// range.
func Shares(replicas, slots, homes, index int) []int {
	shares := make([]int, replicas)
	if replicas == 0 || homes <= 0 || index < 0 || index >= homes {
		return shares
	}
	for slot := index; slot < replicas*slots; slot += homes {
		shares[slot%replicas]++
	}
	return shares
}
