#pragma once

#include <unistd.h>
#include <vector>

namespace chervilpaddle::tests {

//! Holds all descriptors that the process may still open.
class DescriptorHoard
{
public:
    DescriptorHoard()
    {
        for (int descriptor = ::dup(0); descriptor >= 0; descriptor = ::dup(0)) {
            m_descriptors.push_back(descriptor);
        }
    }
    ~DescriptorHoard()
    {
        for (const int descriptor : m_descriptors) {
            ::close(descriptor);
        }
    }
    DescriptorHoard(const DescriptorHoard &) = delete;
    DescriptorHoard &operator=(const DescriptorHoard &) = delete;

private:
    std::vector<int> m_descriptors;
};

} // namespace chervilpaddle::tests
