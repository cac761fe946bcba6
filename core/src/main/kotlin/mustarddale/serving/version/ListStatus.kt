package mustarddale.serving.version

import kotlinx.serialization.Serializable

/**
 * What an instance says of its list of servers to another one that can't read the list.
 *
 * @property ageMillis how old the list was when the question came, 0 if it was read since.
 * @property services the versions that services have had lately, as far as the instance knows.
 */
@Serializable
public data class ListStatus(public val ageMillis: Long, public val services: List<ServiceVersions>)
