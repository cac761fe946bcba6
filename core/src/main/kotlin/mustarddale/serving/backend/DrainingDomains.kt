/*
 * The failure domains whose servers get no new requests. Operators write a domain's evacuation
 * again if the platform's log returns without it, so one that is missing after an outage is kept
 * for a short grace period.
 */
package mustarddale.serving.backend

/** Failure domains that operators have taken out of service; not thread-safe. */
public class DrainingDomains(private val graceMillis: Long = BackendDirectory.EXPIRY_GRACE_MILLIS) {
    private val domains = HashSet<String>()
    private val missing = HashSet<String>()
    private var graceEndMillis = Long.MIN_VALUE

    /** Grows with each change of the draining domains. */
    public var version: Long = 0
        private set

    /** All draining domains. */
    public val all: Set<String> get() = domains.toSet()

    /** Whether the servers of [domain] get no new requests. */
    public operator fun contains(domain: String): Boolean = domain in domains

    /** Starts the grace period: the log is available again at [nowMillis] after an outage. */
    public fun onLogRestored(nowMillis: Long) {
        graceEndMillis = nowMillis + graceMillis
    }

    /** Takes [domain] out of service. */
    public fun add(domain: String) {
        if (domains.add(domain)) version++
        missing.remove(domain)
    }

    /** Brings [domain] back into service, as an operator has ordered. */
    public fun remove(domain: String) {
        if (domains.remove(domain)) version++
        missing.remove(domain)
    }

    /** Replaces all domains by [listed]; within the grace period, others are kept until its end. */
    public fun replaceAll(listed: Set<String>, nowMillis: Long) {
        missing.clear()
        missing.addAll(domains - listed)
        if (domains.addAll(listed)) version++
        removeExpired(nowMillis)
    }

    /** Brings back the domains that were not taken out again within the grace period. */
    public fun removeExpired(nowMillis: Long) {
        if (nowMillis < graceEndMillis) return
        if (domains.removeAll(missing)) version++
        missing.clear()
    }
}
