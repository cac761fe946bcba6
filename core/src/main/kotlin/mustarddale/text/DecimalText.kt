package mustarddale.text

import kotlin.math.abs

/** Writes decimal numbers without the cost of `String.format`. */
public object DecimalText {
    /** Returns [value] rounded to [digits] places after the point; meant for values below 1e12. */
    public fun of(value: Double, digits: Int): String {
        var scale = 1L
        repeat(digits) { scale *= TEN }
        return of(Math.round(value * scale), digits, scale)
    }

    /** Returns [millis] as seconds with three places after the point. */
    public fun secondsOf(millis: Long): String = of(millis, MILLI_DIGITS, MILLIS_PER_SECOND)

    private fun of(scaled: Long, digits: Int, scale: Long): String {
        val fraction = (abs(scaled) % scale).toString()
        val text = StringBuilder()
        if (scaled < 0) text.append('-')
        text.append(abs(scaled) / scale)
        if (digits > 0) text.append('.')
        repeat(digits - fraction.length) { text.append('0') }
        if (digits > 0) text.append(fraction)
        return text.toString()
    }

    private const val TEN = 10
    private const val MILLI_DIGITS = 3
    private const val MILLIS_PER_SECOND = 1_000L
}
