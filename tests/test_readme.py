"""The example in the README runs unchanged."""

from pathlib import Path


def test_readme_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    names: dict[str, object] = {}
    exec(code, names)  # noqa: S102
    assert names["actions"]
