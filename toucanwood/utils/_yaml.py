"""Loading of YAML documents with the line number of each value."""

from typing import TYPE_CHECKING, Any

from toucanwood.utils._validation import FieldError, ValidationError

if TYPE_CHECKING:
    import yaml


def load_yaml(text: str) -> tuple[Any, dict[str, int]]:
    """Return the document and the line number of each value by its path.

    Raises ValidationError if the text is not a single YAML document.
    """
    # The programs on the users' platform read no YAML and start faster without it.
    import yaml

    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        lines: dict[str, int] = {}
        if node is not None:
            _collect_lines(node, "", lines)
        return yaml.safe_load(text), lines
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        problem = getattr(error, "problem", None) or "invalid YAML"
        line = mark.line + 1 if mark else None
        field_error = FieldError("document", problem, "a YAML document", line)
        raise ValidationError([field_error]) from None


def _collect_lines(node: "yaml.Node", path: str, lines: dict[str, int]) -> None:
    import yaml

    lines[path] = node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            child = f"{path}.{key.value}" if path else str(key.value)
            _collect_lines(value, child, lines)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _collect_lines(value, f"{path}[{index}]", lines)
