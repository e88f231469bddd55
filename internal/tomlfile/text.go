package tomlfile

import "fmt"

// span describes a kind of value and its bounds.
func span[T any](kind string, low, high T) string {
	return fmt.Sprintf("%s from %v to %v", kind, low, high)
}

// quote puts strings in quotes and leaves other values as they are.
func quote(value any) any {
	if text, ok := value.(string); ok {
		return fmt.Sprintf("%q", text)
	}
	return value
}
