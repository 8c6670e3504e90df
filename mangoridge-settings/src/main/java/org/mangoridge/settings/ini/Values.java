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
 * Reads the values of keys.
 *
 * <p>Each method throws {@link IllegalArgumentException} with the accepted form if the text has another.
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

    /** Reads a duration such as {@code 250ms}, {@code 5s}, {@code 2min}, {@code 1h} or {@code 7d}. */
    public static Duration duration(String text) {
        Matcher matcher = NUMBER_AND_UNIT.matcher(text);
        if (!matcher.matches() || !TIME_UNITS.containsKey(matcher.group(2))) {
            throw new IllegalArgumentException(
                    "expected a whole number and ms, s, min, h or d, such as 250ms: " + text);
        }
        return TIME_UNITS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1)));
    }

    /** Reads a size in bytes such as {@code 512B}, {@code 64KiB}, {@code 1MiB} or {@code 4GiB}. */
    public static long sizeBytes(String text) {
        Matcher matcher = NUMBER_AND_UNIT.matcher(text);
        if (!matcher.matches() || !SIZE_UNITS.containsKey(matcher.group(2))) {
            throw new IllegalArgumentException(
                    "expected a whole number and B, KiB, MiB or GiB, such as 64KiB: " + text);
        }
        return Math.multiplyExact(SIZE_UNITS.get(matcher.group(2)), Long.parseLong(matcher.group(1)));
    }

    /** Reads a whole number between {@code least} and {@code most}. */
    public static int integer(String text, int least, int most) {
        try {
            int value = Integer.parseInt(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // the message below names the accepted form for both cases
        }
        throw new IllegalArgumentException("expected a whole number from " + least + " to " + most + ": " + text);
    }

    /** Reads {@code yes} or {@code no}. */
    public static boolean yesNo(String text) {
        return switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw new IllegalArgumentException("expected yes or no: " + text);
        };
    }

    /** Reads an address in the form {@code HOST:PORT}. */
    public static HostPort address(String text) {
        return HostPort.parse(text);
    }

    /** Reads words separated by commas; empty text gives no words. */
    public static List<String> words(String text) {
        return Arrays.stream(text.split(","))
                .map(String::trim)
                .filter(word -> !word.isEmpty())
                .toList();
    }

    /** Reads one of the names of an enum, in lower case with hyphens. */
    public static <E extends Enum<E>> E choice(String text, Class<E> type) {
        for (E constant : type.getEnumConstants()) {
            if (choiceName(constant).equals(text)) {
                return constant;
            }
        }
        List<String> names =
                Arrays.stream(type.getEnumConstants()).map(Values::choiceName).toList();
        throw new IllegalArgumentException("expected one of " + String.join(", ", names) + ": " + text);
    }

    /** Returns the name of an enum constant as settings write it. */
    public static String choiceName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
