package org.mangoridge.entry.plain;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Collectors;

import org.mangoridge.web.WebRequest;

/**
 * What a request to {@code /services/SERVICE/PATH} asks for.
 *
 * @param service the name of the service, blank if the path names none
 * @param path the path at the service
 * @param query the query with a leading question mark, empty for none
 */
record PlainTarget(String service, String path, String query) {

    static PlainTarget of(WebRequest web) {
        String rest = web.path().substring(PlainRequestHandler.PREFIX.length());
        int slash = rest.indexOf('/');
        return new PlainTarget(
                slash < 0 ? rest : rest.substring(0, slash), slash < 0 ? "/" : rest.substring(slash), query(web));
    }

    String pathAndQuery() {
        return path + query;
    }

    private static String query(WebRequest web) {
        if (web.query().isEmpty()) {
            return "";
        }
        return web.query().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> encode(entry.getKey()) + "=" + encode(entry.getValue()))
                .collect(Collectors.joining("&", "?", ""));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
