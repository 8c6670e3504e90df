package org.mangoridge.settings.ini;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.mangoridge.core.net.HostPort;

/**
 * Parses the values of settings.
 *
 * <p>Each parsing method throws {@link IllegalArgumentException} if the text is invalid; the message names the accepted
 * form.
 */
public final class Values {

    private static final Pattern NUMBER_AND_UNIT = Pattern.compile("(\\d{1,15})\\s*([A-Za-z]*)");
    private static final Map<String, Duration> TIME_UNITS = Map.of(
            "ms", Duration.ofMillis(1),
            "s", Duration.ofSeconds(1),
            "min", Duration.ofMinutes(1),
            "h", Duration.ofHours(1),
            "d", Duration.ofDays(1));
    private static final Map<String, Long> SIZE_UNITS = Map.of(
            "B", 1L,
            "KiB", 1L << 10,
            "MiB", 1L << 20,
            "GiB", 1L << 30);

    private Values() {}

    /** Parses a duration such as {@code 250ms}, {@code 5s}, {@code 2min}, {@code 1h} or {@code 7d}. */
    public static Duration duration(String text) {
        Matcher matcher = NUMBER_AND_UNIT.matcher(text);
        if (!matcher.matches() || !TIME_UNITS.containsKey(matcher.group(2))) {
            throw new IllegalArgumentException(
                    "expected a whole number and a unit (ms, s, min, h or d) such as 250ms, found: " + text);
        }
        return TIME_UNITS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1)));
    }

    /** Parses a size in bytes such as {@code 512B}, {@code 64KiB}, {@code 1MiB} or {@code 4GiB}. */
    public static long sizeBytes(String text) {
        Matcher matcher = NUMBER_AND_UNIT.matcher(text);
        if (!matcher.matches() || !SIZE_UNITS.containsKey(matcher.group(2))) {
            throw new IllegalArgumentException(
                    "expected a whole number and a unit (B, KiB, MiB or GiB) such as 64KiB, found: " + text);
        }
        return Math.multiplyExact(SIZE_UNITS.get(matcher.group(2)), Long.parseLong(matcher.group(1)));
    }

    /** Parses a whole number from {@code minimum} to {@code maximum}, both inclusive. */
    public static int integer(String text, int minimum, int maximum) {
        try {
            int value = Integer.parseInt(text);
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, as is a number out of range.
        }
        throw new IllegalArgumentException(
                "expected a whole number from " + minimum + " to " + maximum + ", found: " + text);
    }

    /** Parses {@code yes} or {@code no}. */
    public static boolean yesNo(String text) {
        return switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw new IllegalArgumentException("expected yes or no, found: " + text);
        };
    }

    /** Parses an address of the form {@code HOST:PORT}. */
    public static HostPort address(String text) {
        return HostPort.parse(text);
    }

    /** Parses a comma-separated list; blank items are left out. */
    public static List<String> commaSeparated(String text) {
        return Arrays.stream(text.split(","))
                .map(String::trim)
                .filter(item -> !item.isEmpty())
                .toList();
    }

    /** Parses the name of an enum constant in the form of {@link #choiceName}. */
    public static <E extends Enum<E>> E choice(String text, Class<E> type) {
        for (E constant : type.getEnumConstants()) {
            if (choiceName(constant).equals(text)) {
                return constant;
            }
        }
        List<String> names =
                Arrays.stream(type.getEnumConstants()).map(Values::choiceName).toList();
        throw new IllegalArgumentException("expected one of " + String.join(", ", names) + "; found: " + text);
    }

    /** Returns the name of an enum constant as used in settings: in lower case with hyphens. */
    public static String choiceName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
