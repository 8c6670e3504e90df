package org.mangoridge.bench.slope;

import java.util.List;

/**
 * How one cost grows with one size.
 *
 * @param cost what is measured, with its unit
 * @param size what grows, with its unit
 * @param points the measurements, the smallest size first
 */
public record Slope(String cost, String size, List<Point> points) {

    public Slope {
        points = List.copyOf(points);
    }

    /**
     * One measurement.
     *
     * @param size the size
     * @param cost the cost at it
     */
    public record Point(double size, double cost) {}

    /** Returns the cost of one more, by least squares over all points. */
    public double perUnit() {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
        double meanCost = points.stream().mapToDouble(Point::cost).average().orElse(0);
        double covariance = points.stream()
                .mapToDouble(point -> (point.size() - meanSize) * (point.cost() - meanCost))
                .sum();
        double variance = points.stream()
                .mapToDouble(point -> (point.size() - meanSize) * (point.size() - meanSize))
                .sum();
        return variance == 0 ? 0 : covariance / variance;
    }

    /** Returns the cost at size zero, by the same line. */
    public double atZero() {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
        double meanCost = points.stream().mapToDouble(Point::cost).average().orElse(0);
        return meanCost - perUnit() * meanSize;
    }
}
