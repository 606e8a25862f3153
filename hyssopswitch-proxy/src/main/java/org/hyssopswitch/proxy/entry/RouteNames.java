package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the route that a statement names in a sqlcommenter comment.
 *
 * <p>Only a comment at the very start or the very end counts, so that text inside a literal cannot name a route.
 */
final class RouteNames {

    private static final Pattern ROUTE = Pattern.compile("(?:^|[\\s,*])route='([^']{1,200})'");

    private RouteNames() {}

    /**
     * Finds the route.
     *
     * @param sql the statement
     */
    static Option<String> find(String sql) {
        String text = sql.strip();
        while (text.endsWith(";")) {
            text = text.substring(0, text.length() - 1).strip();
        }
        return trailing(text).orElse(leading(text));
    }

    private static Option<String> trailing(String text) {
        int start = text.lastIndexOf("/*");
        if (!text.endsWith("*/") || start < 0 || text.indexOf("*/", start) != text.length() - 2) {
            return Option.none();
        }
        return route(text.substring(start + 2, text.length() - 2));
    }

    private static Option<String> leading(String text) {
        int end = text.indexOf("*/");
        return text.startsWith("/*") && end > 0 ? route(text.substring(2, end)) : Option.none();
    }

    private static Option<String> route(String comment) {
        Matcher matcher = ROUTE.matcher(comment);
        if (!matcher.find()) {
            return Option.none();
        }
        try {
            return Option.some(URLDecoder.decode(matcher.group(1), StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            return Option.some(matcher.group(1));
        }
    }
}
