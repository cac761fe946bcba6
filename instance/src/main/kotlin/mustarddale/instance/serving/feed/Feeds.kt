package mustarddale.instance.serving.feed

/**
 * The feeds of an instance, which the leader reads for all instances.
 *
 * @property operators the configuration and the draining failure domains.
 * @property backends the entries of backend servers.
 */
public data class Feeds(public val operators: KeyedFeed, public val backends: KeyedFeed)
