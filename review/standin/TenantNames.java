import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The operator adds two tenants whose names differ in a letter that isn't in ISO 8859-1. The
 * service keeps the bookings of each tenant by the header Tenant, as the page describes it. The
 * check is UNASKED: an engine runs no request whose Tenant isn't the tenant that holds the key.
 */
final class TenantNames {
    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record log = new Record(args[0] + "/record.txt");
        Deployment site = new Deployment(log);
        site.configure();
        site.modelEngine("i-1", "v1", java.util.List.of("m0", "m1"));
        Map<String, String> tenantOfRequest = new ConcurrentHashMap<>();
        Map<String, String> bookings = new ConcurrentHashMap<>();
        Engine desk = site.plainServer("i-2");
        desk.plainAnswer = (head, body) -> {
            String tenant = head.get("tenant");
            tenantOfRequest.put(head.get("request-id"), tenant == null ? "" : tenant);
            if (head.method().equals("POST")) {
                bookings.merge(tenant, new String(body, StandardCharsets.UTF_8),
                    (before, next) -> before + "; " + next);
                return "booked";
            }
            return "bookings: " + bookings.getOrDefault(tenant, "none");
        };
        for (int i = 1; i <= 2; i++) site.instance("front-" + i).start();
        if (!site.awaitReady(30)) {
            log.say("the instances were not ready");
            site.end(2);
        }
        Thread.sleep(3_000);
        Map<String, String> keys = new LinkedHashMap<>();
        keys.put(hasTrouble ? "T\u014dtara" : "Totara", "key-a");
        keys.put(hasTrouble ? "T\u016btara" : "Tutara", "key-b");
        StringBuilder tenants = new StringBuilder();
        keys.forEach((name, key) -> tenants.append(",{\"name\":\"").append(name)
            .append("\",\"apiKeys\":[\"").append(key).append("\"],\"unit\":\"tokens\",")
            .append("\"plainTokens\":200,\"ratePerS\":40000,\"burst\":40000}"));
        site.moreTenants = tenants.toString();
        site.configure();
        log.say("the operator adds the tenants " + keys.keySet());
        Thread.sleep(4_000);
        int wrong = 0;
        int run = 0;
        for (int round = 1; round <= 3; round++) {
            for (Map.Entry<String, String> tenant : keys.entrySet()) {
                Instance target = site.instances.get(round % 2);
                String headers = "Authorization: Bearer " + tenant.getValue() + "\r\n";
                Client.Answer book = Client.send(target.front, "POST", "/book/1", headers,
                    ("booking " + round + " with " + tenant.getValue())
                        .getBytes(StandardCharsets.UTF_8), 4_000);
                Client.Answer look = Client.send(target.front, "GET", "/stock/1", headers,
                    new byte[0], 4_000);
                log.say(tenant.getKey() + " (" + tenant.getValue() + "): " + book + "; " + look
                    + ": " + look.body);
                for (Client.Answer answer : new Client.Answer[] {book, look}) {
                    String header = tenantOfRequest.get(answer.id);
                    if (header == null) continue;
                    run++;
                    // Heads are read byte by byte, so this is the header in either encoding.
                    String utf8 = new String(tenant.getKey().getBytes(StandardCharsets.UTF_8),
                        StandardCharsets.ISO_8859_1);
                    boolean isRight = header.equals(utf8) || header.equals(tenant.getKey());
                    if (!isRight) wrong++;
                    log.line("engine: ran " + answer.id + " of " + tenant.getKey()
                        + " with the header Tenant: " + header);
                }
            }
        }
        log.say(wrong + " of " + run + " requests ran with a Tenant that isn't the key's");
        if (run == 0) site.end(2);
        site.end(wrong > 0 ? 1 : 0);
    }
}
