package document

import (
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// lineOf returns the line of the field at a path such as kinds[2].size.slots, or of its nearest ancestor that is
// present in the document.
func lineOf(root *yaml.Node, path string) int {
	node := root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := node.Line
	for _, segment := range strings.Split(strings.ReplaceAll(path, "[", ".["), ".") {
		next, nextLine := child(node, segment)
		if next == nil {
			return line
		}
		node, line = next, nextLine
	}
	return line
}

// child returns the value of a mapping key or sequence index, and its line. The value is nil if there is none.
func child(node *yaml.Node, segment string) (*yaml.Node, int) {
	if index, ok := strings.CutPrefix(segment, "["); ok {
		i, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
		if err != nil || node.Kind != yaml.SequenceNode || i >= len(node.Content) {
			return nil, 0
		}
		return node.Content[i], node.Content[i].Line
	}
	if node.Kind != yaml.MappingNode {
		return nil, 0
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == segment {
			return node.Content[i+1], node.Content[i].Line
		}
	}
	return nil, 0
}
