package settings

// maxSuggestionDistance is the maximum edit distance of a suggested name.
const maxSuggestionDistance = 2

// suggestion returns the text to append to an error about an unknown name: a question
// that suggests the closest setting, or "" if none is close.
func suggestion(name string) string {
	closest := ""
	distance := maxSuggestionDistance + 1
	for _, row := range Table {
		if candidateDistance := editDistance(name, row.Name); candidateDistance < distance {
			closest = row.Name
			distance = candidateDistance
		}
	}
	if closest == "" {
		return ""
	}
	return "; did you mean " + closest + "?"
}

// editDistance returns the Levenshtein distance of two texts in bytes. It uses the
// Wagner-Fischer algorithm with two rows.
func editDistance(a, b string) int {
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current := make([]int, len(b)+1)
		current[0] = i
		for j := 1; j <= len(b); j++ {
			substitution := previous[j-1]
			if a[i-1] != b[j-1] {
				substitution++
			}
			current[j] = min(previous[j]+1, current[j-1]+1, substitution)
		}
		previous = current
	}
	return previous[len(b)]
}
