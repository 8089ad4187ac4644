package org.marigoldturn.standins.measure;

import java.util.List;

/**
 * Least-squares line through measured points.
 *
 * @param slope increase of the value per unit of x
 * @param intercept value at x = 0
 */
record LinearFit(double slope, double intercept) {
    /** One measured point. */
    record Point(double x, double y) {}

    /** Fits a line; the points need at least two distinct x. */
    static LinearFit of(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
        double squares = 0;
        double products = 0;
        for (Point point : points) {
            squares += (point.x() - meanX) * (point.x() - meanX);
            products += (point.x() - meanX) * (point.y() - meanY);
        }
        if (squares == 0) {
            throw new IllegalArgumentException("a line needs two distinct x, not " + points);
        }
        double slope = products / squares;
        return new LinearFit(slope, meanY - slope * meanX);
    }

    double at(double x) {
        return intercept + slope * x;
    }
}
