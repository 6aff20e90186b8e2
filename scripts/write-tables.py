#!/usr/bin/env python3
"""Generates docs/result-codes.md and docs/log-events.md from the tables in src/.

tests/unit_docs.cc compares the pages with the compiled tables.
"""
import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent


def rows(path, pattern):
    text = (ROOT / path).read_text()
    text = re.sub(r'"\s*\n\s*"', "", text)
    return re.findall(pattern, text)


def numbers(path):
    text = (ROOT / path).read_text()
    return dict(re.findall(r"\b(k\w+) = (\d+),", text))


def write_result_codes():
    codes = numbers("include/bramleybank/result_code.h")
    lines = [
        "# Result codes",
        "",
        "Refusals carry the number and the name. `make tables` writes this page",
        "from `src/result_code.cc`; a test compares both.",
        "",
        "| Code | Name | HTTP status | Meaning |",
        "|---|---|---|---|",
    ]
    pattern = r'\{(k\w+),\s*"(\w+)",\s*(\d+),\s*"([^"]*)"\}'
    for name, text, status, meaning in rows("src/result_code.cc", pattern):
        lines.append(f"| {codes[name]} | `{text}` | {status} | {meaning} |")
    (ROOT / "docs/result-codes.md").write_text("\n".join(lines) + "\n")


def write_log_events():
    ids = numbers("src/log_event.h")
    lines = [
        "# Log events",
        "",
        "A line reads `event=<number> name=<name> key=value ...`. `make tables`",
        "writes this page from `src/log_event.cc`; a test compares both.",
        "",
        "| Event | Name | Severity | Meaning |",
        "|---|---|---|---|",
    ]
    pattern = r'\{(k\w+),\s*"(\w+)",\s*k(\w+),\s*"([^"]*)"\}'
    for name, text, severity, meaning in rows("src/log_event.cc", pattern):
        lines.append(
            f"| {ids[name]} | `{text}` | {severity.lower()} | {meaning} |")
    (ROOT / "docs/log-events.md").write_text("\n".join(lines) + "\n")


write_result_codes()
write_log_events()
