"""What newer or broken writers may write in place of a value."""

#: What a newer or broken writer may put in place of any value.
ODD_VALUES: tuple[object, ...] = (
    None,
    True,
    -1,
    0,
    1e300,
    10**40,
    "",
    "odd",
    [],
    {},
    [None],
    {"odd": 1},
)
#: What no JSON writer should put there, as it stands in the text.
ODD_TEXTS = ("NaN", "Infinity", "-Infinity", "1e999", "-1e999")
