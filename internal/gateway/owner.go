package gateway

import "github.com/cespare/xxhash/v2"

// OwnerDomain returns the failure domain that stores the record of a member's key, chosen by rendezvous
// hashing. The key must be in canonical form.
func OwnerDomain(domains []string, member, key string) string {
	best, highest := "", uint64(0)
	for _, domain := range domains {
		score := xxhash.Sum64String(domain + "\x00" + member + "\x00" + key)
		if best == "" || score > highest || score == highest && domain < best {
			best, highest = domain, score
		}
	}
	return best
}
