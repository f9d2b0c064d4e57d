package review2;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads single fields of the flat JSON texts that daemons send to the store. */
final class Json {

    private Json() {}

    static String text(String json, String field) {
        return find(json, "\"" + field + "\"\\s*:\\s*\"([^\"]*)\"");
    }

    static long number(String json, String field) {
        return Long.parseLong(find(json, "\"" + field + "\"\\s*:\\s*(-?[0-9]+)"));
    }

    static String firstOf(String json, String field) {
        return find(json, "\"" + field + "\"\\s*:\\s*\\[\\s*\"([^\"]*)\"");
    }

    private static String find(String json, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(json);
        if (!matcher.find()) {
            throw new IllegalArgumentException("no " + pattern + " in " + json);
        }
        return matcher.group(1);
    }
}
