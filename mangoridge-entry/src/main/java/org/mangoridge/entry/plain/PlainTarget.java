package org.mangoridge.entry.plain;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Collectors;

import org.mangoridge.web.WebRequest;

/**
 * The target of a request to {@code /services/SERVICE/PATH}.
 *
 * @param service the name of the service, blank if the path contains none
 * @param path the path to request from the service, starting with a slash
 * @param query the query string with its leading question mark, empty if there is none
 */
record PlainTarget(String service, String path, String query) {

    static PlainTarget of(WebRequest web) {
        String rest = web.path().substring(PlainRequestHandler.PATH_PREFIX.length());
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
