package org.mangoridge.bench.load;

import java.util.random.RandomGenerator;

/**
 * Lengths in tokens with a heavy tail: log-normal, cut off at both ends.
 *
 * @param median half of the lengths are greater
 * @param sigma the standard deviation of the logarithm
 * @param least the least length
 * @param greatest the greatest length
 */
public record LengthDistribution(int median, double sigma, int least, int greatest) {

    /** Draws a length. */
    public int draw(RandomGenerator random) {
        double length = median * Math.exp(sigma * random.nextGaussian());
        return (int) Math.clamp(Math.round(length), least, greatest);
    }
}
