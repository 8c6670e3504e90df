package org.mangoridge.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** The most requests that a capacity could serve, whatever the policy. */
public final class GoodputBound {

    private static final List<ToDoubleFunction<Need>> PARTS =
            List.of(Need::outputTokens, Need::prefillTokens, Need::linkBytes);

    private GoodputBound() {}

    /**
     * Returns for each class the most of its requests that could be served.
     *
     * <p>A class may serve as many requests as the least of each part's needs fit into what the part has left; the same
     * least needs are then taken off for the classes that follow.
     *
     * @param capacity what the servers can do
     * @param classes the needs of each class's requests, the class that comes first first
     */
    public static List<Integer> of(Capacity capacity, List<List<Need>> classes) {
        double[] left = {capacity.outputTokens(), capacity.prefillTokens(), capacity.linkBytes()};
        List<Integer> bounds = new ArrayList<>();
        for (List<Need> needs : classes) {
            int bound = needs.size();
            List<double[]> sorted = new ArrayList<>();
            for (int part = 0; part < left.length; part++) {
                double[] amounts =
                        needs.stream().mapToDouble(PARTS.get(part)).sorted().toArray();
                sorted.add(amounts);
                bound = Math.min(bound, fitting(amounts, left[part]));
            }
            for (int part = 0; part < left.length; part++) {
                left[part] -= sumOfFirst(sorted.get(part), bound);
            }
            bounds.add(bound);
        }
        return bounds;
    }

    private static int fitting(double[] sortedAmounts, double capacity) {
        double left = capacity;
        int count = 0;
        while (count < sortedAmounts.length && sortedAmounts[count] <= left) {
            left -= sortedAmounts[count];
            count++;
        }
        return count;
    }

    private static double sumOfFirst(double[] amounts, int count) {
        double sum = 0;
        for (int index = 0; index < count; index++) {
            sum += amounts[index];
        }
        return sum;
    }
}
